package bergamotwall.cli

import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.io.ByteArrayOutputStream
import java.io.File
import java.io.PrintStream
import java.io.PrintWriter
import java.io.StringWriter

internal class CommandLineTest {
    @TempDir
    lateinit var folder: File

    private class Ran(val code: Int, val out: String, val err: String)

    private fun run(vararg args: String): Ran {
        val out = StringWriter()
        val err = ByteArrayOutputStream()
        val before = System.err
        System.setErr(PrintStream(err))
        try {
            val code = commandLine().setOut(PrintWriter(out)).setErr(PrintWriter(err, true)).execute(*args)
            return Ran(code, out.toString(), err.toString())
        } finally {
            System.setErr(before)
        }
    }

    @ParameterizedTest
    @CsvSource("vriesmand-intent.json", "cire-intent.json")
    fun `the examples are valid`(name: String) {
        val ran = run("intent", "validate", "../examples/$name")
        expectThat(ran.code).isEqualTo(ExitCodes.OK)
        expectThat(ran.out).contains("valid")
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        delimiter = '|',
        value = [
            "unknown field | {\"name\": \"i\", \"colour\": 1} | 2 | colour",
            "floor | {\"name\":\"i\",\"models\":[{\"name\":\"m\",\"availabilityFloorPercent\":200}]} | 2 | 0 to 99",
            "no JSON | nonsense | 2 | Fix:",
        ],
    )
    fun `a bad intent is refused with field and fix, before anything is asked`(
        case: String,
        text: String,
        code: Int,
        told: String,
    ) {
        val file = File(folder, "intent.json").apply { writeText(text) }
        val ran = run("intent", "plan", file.path, "--controller", "127.0.0.1:1")
        expectThat(ran.code).describedAs(case).isEqualTo(code)
        expectThat(ran.err).contains(told)
    }

    @ParameterizedTest(name = "{0}: exit code {1}")
    @CsvSource("status, 4", "explain x, 4", "drain x, 4", "intent confirm x, 4", "--help, 0", "nonsense, 2", "drain, 2")
    fun `exit codes tell what happened`(
        arguments: String,
        code: Int,
    ) {
        val ran = run(*arguments.split(' ').toTypedArray(), "--controller", "127.0.0.1:1")
        expectThat(ran.code).isEqualTo(code)
    }
}
