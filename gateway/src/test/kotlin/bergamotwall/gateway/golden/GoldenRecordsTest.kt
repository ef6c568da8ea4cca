package bergamotwall.gateway.golden

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

/**
 * Records as earlier builds wrote them are read, and new ones are written in the format of the newest. Folders of
 * `golden` are named for the commits that wrote their files, or for what they add to those of the folder before. A
 * change of a format needs a new folder, and a line in the changelog: two builds run side by side during an upgrade.
 */
internal class GoldenRecordsTest {
    @ParameterizedTest(name = "{0} of {1}")
    @MethodSource("cases")
    fun `a record of an earlier build is read`(
        record: GoldenRecord<*>,
        commit: String,
    ) {
        expectThat(record.isIn(textOf(record, commit))).isTrue()
    }

    @ParameterizedTest
    @MethodSource("records")
    fun `the format has not changed`(record: GoldenRecord<*>) {
        expectThat(record.encoded()).isEqualTo(textOf(record, foldersOf(record).last()))
    }

    @ParameterizedTest(name = "{0} of {1}")
    @MethodSource("cases")
    fun `a field that a later build has added is ignored`(
        record: GoldenRecord<*>,
        commit: String,
    ) {
        val text = textOf(record, commit).replace("{", "{\"added\":[1,{\"x\":null}],")
        expectThat(record.isIn(text)).isTrue()
    }

    private fun textOf(
        record: GoldenRecord<*>,
        commit: String,
    ): String =
        checkNotNull(javaClass.getResource("/golden/$commit/${record.name}.json")) { "no ${record.name} of $commit" }
            .readText()
            .trimEnd('\n')

    private companion object {
        /** Oldest first. */
        private val FOLDERS = listOf("3bad907", "workspaces", "scaling")

        private fun foldersOf(record: GoldenRecord<*>): List<String> =
            FOLDERS.filter { javaClass.getResource("/golden/$it/${record.name}.json") != null }
                .also { check(it.first() == record.since) { "no ${record.name} of ${record.since}" } }

        @JvmStatic
        fun records(): List<GoldenRecord<*>> = GOLDEN_RECORDS

        @JvmStatic
        fun cases(): List<Array<Any>> =
            GOLDEN_RECORDS.flatMap { record -> foldersOf(record).map { arrayOf(record, it) } }
    }
}
