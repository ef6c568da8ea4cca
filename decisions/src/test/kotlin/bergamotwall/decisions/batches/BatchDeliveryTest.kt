package bergamotwall.decisions.batches

import bergamotwall.model.BatchOrder
import bergamotwall.model.GroupSpec
import bergamotwall.model.Manifest
import bergamotwall.model.Sample
import bergamotwall.model.SampleId
import bergamotwall.model.TrainerName
import bergamotwall.model.WeightVersion
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse

internal class BatchDeliveryTest {
    @ParameterizedTest(name = "versions {0}, published {1}, bound {2}: fresh {3}")
    @CsvSource(
        "7, 7, 0, true",
        "6, 7, 0, false",
        "6 7, 7, 0, false",
        "6 7, 7, 1, true",
        "5 7, 7, 1, false",
        "'', 7, 9, false",
        "8, 7, 0, true",
    )
    fun `a sample is as old as the oldest version in its label`(
        versions: String,
        published: Long,
        bound: Int,
        fresh: Boolean,
    ) {
        val label = versions.split(' ').filter { it.isNotEmpty() }.map { it.toLong() }
        expectThat(isFresh(sample("a", 0, label), WeightVersion(published), bound)).isEqualTo(fresh)
    }

    @Test
    fun `each group gets at most the samples that it asks for, distinct and fresh ones`() {
        val order = BatchOrder(listOf(GroupSpec("p", 3, 2, 9), GroupSpec("q", 3, 2, 9)))
        val samples =
            listOf(sample("a", 0, listOf(5)), sample("a", 0, listOf(5)), sample("b", 0, listOf(5))) +
                listOf(sample("c", 0, listOf(5)), sample("d", 1, listOf(5)), sample("e", 1, listOf(1)))
        val delivery = decideDelivery(order, samples, WeightVersion(5), 1)
        expectThat(delivery.fresh.map { it.id.value }).isEqualTo(listOf("a", "b", "d"))
        expectThat(delivery.expired).hasSize(1)
        expectThat(delivery.missingByGroup).isEqualTo(mapOf(1 to 1))
        expectThat(delivery.complete).isFalse()
    }

    @ParameterizedTest(name = "committed {0}, ordered {1} with hash {2}: {3}")
    @CsvSource(
        "0, 1, 7, Generate",
        "0, 2, 7, OutOfOrder",
        "1, 1, 7, Redeliver",
        "1, 1, 8, Changed",
        "1, 2, 8, Generate",
        "1, 3, 8, OutOfOrder",
        "5, 4, 7, OutOfOrder",
    )
    fun `the same batch is redelivered, an order for the next one acknowledges it`(
        committed: Long,
        number: Long,
        hash: Long,
        expected: String,
    ) {
        val manifest = Manifest(TrainerName("t"), committed, 1, emptyList(), 7).takeIf { committed > 0 }
        expectThat(decideBatch(number, hash, manifest)::class.simpleName).isEqualTo(expected)
    }

    private fun sample(
        id: String,
        group: Int,
        versions: List<Long>,
    ): Sample = Sample(SampleId(id), group, versions.map { WeightVersion(it) }, "", 1, emptyList())
}
