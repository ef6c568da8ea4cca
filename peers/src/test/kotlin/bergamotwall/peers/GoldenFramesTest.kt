package bergamotwall.peers

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.HexFormat
import java.util.Properties

/**
 * Frames as earlier builds sent them are read, and new ones are sent in the format of the newest. The files under
 * `golden` are named for the commits that wrote them, or for what they add. A change of a format needs a new file, and
 * a line in the changelog: two builds run side by side during an upgrade.
 */
internal class GoldenFramesTest {
    @ParameterizedTest(name = "{0} of {1}")
    @MethodSource("cases")
    fun `a frame of an earlier build is read`(
        name: String,
        commit: String,
    ) {
        val frame = HexFormat.of().parseHex(framesOf(commit).getProperty(name))
        expectThat(decodeFrame(frame).envelope).isEqualTo(envelopeOf(name))
    }

    @ParameterizedTest
    @MethodSource("names")
    fun `the format has not changed`(name: String) {
        val frame = HexFormat.of().formatHex(encodeFrame(envelopeOf(name)))
        val newest = MESSAGES.entries.last { name in it.value }.key
        expectThat(frame).isEqualTo(framesOf(newest).getProperty(name))
    }

    private fun envelopeOf(name: String) =
        Envelope(1, false, null, MESSAGES.values.firstNotNullOf { it[name] })

    private fun framesOf(commit: String): Properties {
        val resource = checkNotNull(javaClass.getResource("/golden/$commit.properties")) { "no frames of $commit" }
        return Properties().also { properties -> resource.openStream().use { properties.load(it) } }
    }

    private companion object {
        /** Messages in the file of each name, oldest first. */
        private val MESSAGES = linkedMapOf("3bad907" to GOLDEN_MESSAGES, "scaling" to SCALING_MESSAGES)

        @JvmStatic
        fun names(): Set<String> = MESSAGES.values.flatMapTo(LinkedHashSet()) { it.keys }

        @JvmStatic
        fun cases(): List<Array<Any>> =
            MESSAGES.flatMap { (file, messages) -> messages.keys.map { arrayOf(it, file) } }
    }
}
