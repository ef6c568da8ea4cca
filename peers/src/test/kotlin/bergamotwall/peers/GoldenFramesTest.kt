package bergamotwall.peers

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.util.HexFormat
import java.util.Properties

/**
 * Frames as earlier builds sent them are read, and new ones are sent in the format of the newest. The files under
 * `golden` are named for the commits that wrote them. A change of a format needs a new file, and a line in the
 * changelog: two builds run side by side during an upgrade.
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
        expectThat(frame).isEqualTo(framesOf(COMMITS.last()).getProperty(name))
    }

    private fun envelopeOf(name: String) = Envelope(1, false, null, GOLDEN_MESSAGES.getValue(name))

    private fun framesOf(commit: String): Properties {
        val resource = checkNotNull(javaClass.getResource("/golden/$commit.properties")) { "no frames of $commit" }
        return Properties().also { properties -> resource.openStream().use { properties.load(it) } }
    }

    private companion object {
        /** Oldest first. */
        private val COMMITS = listOf("3bad907")

        @JvmStatic
        fun names(): Set<String> = GOLDEN_MESSAGES.keys

        @JvmStatic
        fun cases(): List<Array<Any>> = COMMITS.flatMap { commit -> GOLDEN_MESSAGES.keys.map { arrayOf(it, commit) } }
    }
}
