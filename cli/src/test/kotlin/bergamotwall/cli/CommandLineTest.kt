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

    private class RunResult(val code: Int, val out: String, val err: String)

    private fun run(vararg args: String): RunResult {
        val out = StringWriter()
        val err = ByteArrayOutputStream()
        val originalErr = System.err
        System.setErr(PrintStream(err))
        try {
            val code = commandLine().setOut(PrintWriter(out)).setErr(PrintWriter(err, true)).execute(*args)
            return RunResult(code, out.toString(), err.toString())
        } finally {
            System.setErr(originalErr)
        }
    }

    @ParameterizedTest
    @CsvSource("vriesmand-intent.json", "cire-intent.json")
    fun `the example intents are valid`(name: String) {
        val result = run("intent", "validate", "../examples/$name")
        expectThat(result.code).isEqualTo(ExitCodes.OK)
        expectThat(result.out).contains("valid")
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        delimiter = '|',
        value = [
            "unknown field | {\"name\": \"i\", \"colour\": 1} | 2 | colour",
            "floor | {\"name\":\"i\",\"models\":[{\"name\":\"m\",\"availabilityFloorPercent\":200}]} | 2 | 0 to 99",
            "not JSON | nonsense | 2 | Fix:",
        ],
    )
    fun `an invalid intent is rejected with field and fix, before a controller is contacted`(
        case: String,
        text: String,
        code: Int,
        message: String,
    ) {
        val file = File(folder, "intent.json").apply { writeText(text) }
        val result = run("intent", "plan", file.path, "--controller", "127.0.0.1:1")
        expectThat(result.code).describedAs(case).isEqualTo(code)
        expectThat(result.err).contains(message)
    }

    @ParameterizedTest(name = "{0}: exit code {1}")
    @CsvSource("status, 4", "explain x, 4", "drain x, 4", "intent confirm x, 4", "--help, 0", "nonsense, 2", "drain, 2")
    fun `the exit code tells an unreachable controller from wrong usage`(
        arguments: String,
        code: Int,
    ) {
        val result = run(*arguments.split(' ').toTypedArray(), "--controller", "127.0.0.1:1")
        expectThat(result.code).isEqualTo(code)
    }
}
