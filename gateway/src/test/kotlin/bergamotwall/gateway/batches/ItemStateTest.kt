package bergamotwall.gateway.batches

import bergamotwall.model.ItemId
import bergamotwall.model.ItemSpec
import bergamotwall.model.WeightVersion
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

internal class ItemStateTest {
    @ParameterizedTest(name = "events {0}: text {1}, versions {2}, accepted {3}")
    @CsvSource(
        "1@5 2@5 3@5, a1 a2 a3, 5, true",
        // A second run repeats an event received before.
        "1@5 2@5 2@6 3@6, a1 a2 a3, 5 6, true",
        // Repeated events do not add their version.
        "1@5 2@5 1@6 2@6, a1 a2, 5, true",
        // An event after a gap, or without an id, is rejected.
        "1@5 3@5, a1, 5, false",
        "1@5 ?@5, a1, 5, false",
    )
    fun `the text has each event once, in order, and the result lists the versions that generated them`(
        events: String,
        text: String,
        versions: String,
        accepted: Boolean,
    ) {
        val item = ItemState(ItemSpec(ItemId("i"), "g", "/p", emptyList(), "", 0))
        val appended =
            events.split(' ').map { event ->
                val (id, version) = event.split('@')
                item.append(StreamEvent(id.toLongOrNull(), "a$id", emptyMap()), WeightVersion(version.toLong()))
            }
        val result = item.text()
        expectThat(appended.last()).isEqualTo(accepted)
        expectThat(result.text).isEqualTo(text.replace(' ', '\n'))
        expectThat(result.versions.joinToString(" ") { it.value.toString() }).isEqualTo(versions)
    }
}
