package bergamotwall.model

import com.github.michaelbull.result.getError
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty
import strikt.assertions.isNotNull

internal class DocumentReaderTest {
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        delimiter = '|',
        value = [
            "unknown field | {\"id\": \"a\",~\"colour\": 1} | 2 | colour | remove it",
            "missing field | {\"id\": \"a\"} | 1 | $ | add it",
            "wrong type " +
                "| {\"id\": \"a\", \"dataCentre\": \"d\", \"httpAddress\": \"h:1\", \"peerAddress\": \"h:2\", " +
                "\"keyValueAddress\": \"h:3\",~\"vmListAddress\": \"h:4\", \"probePeriodMillis\": " +
                "\"soon\"} | 2 | probePeriodMillis | give a value",
            "no JSON | hello | 1 | $ | give a value",
        ],
    )
    fun `the problem of a rejected document names the line, the field and the fix`(
        case: String,
        text: String,
        line: Int,
        field: String,
        fix: String,
    ) {
        val problem = readDocument(Settings.serializer(), text.replace('~', '\n'), "s.json").getError()
        expectThat(problem).describedAs(case).isNotNull().and {
            get { this.line }.isEqualTo(line)
            get { this.field }.contains(field)
            get { this.fix }.contains(fix)
        }
    }

    @ParameterizedTest(name = "{0} = {1}")
    @CsvSource(
        "httpAddress, nowhere",
        "httpAddress, h:99999",
        "probePeriodMillis, 5",
        "leaseTtlSeconds, 1",
        "logLevel, loud",
        "maxBodyBytes, 0",
    )
    fun `settings outside their bounds are rejected`(
        field: String,
        value: String,
    ) {
        val quoted = if (value.toLongOrNull() == null) "\"$value\"" else value
        val base =
            linkedMapOf(
                "id" to "\"a\"",
                "dataCentre" to "\"d\"",
                "httpAddress" to "\"h:1\"",
                "peerAddress" to "\"h:2\""
            )
        base["keyValueAddress"] = "\"h:3\""
        base["vmListAddress"] = "\"h:4\""
        base[field] = quoted
        val text = base.entries.joinToString(",\n", "{", "}") { "\"${it.key}\": ${it.value}" }
        val settings = readDocument(Settings.serializer(), text, "s.json").value
        expectThat(validateSettings(settings, text, "s.json").filter { it.field == field }).isNotEmpty()
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        delimiter = '|',
        value = [
            "blank name | {\"name\": \"\"} | name",
            "rewarder of another service " +
                "| {\"name\": \"i\", \"models\": [{\"name\": \"m\"}], \"services\": [{\"name\": \"s\"}], " +
                "\"trainers\": [{\"name\": \"t\", \"key\": \"k\", \"model\": \"m\", " +
                "\"stalenessBoundVersions\": 1, \"rewarder\": {\"service\": \"other\"}}]} | rewarder",
            "rewarder without a path " +
                "| {\"name\": \"i\", \"models\": [{\"name\": \"m\"}], \"services\": [{\"name\": \"s\"}], " +
                "\"trainers\": [{\"name\": \"t\", \"key\": \"k\", \"model\": \"m\", " +
                "\"stalenessBoundVersions\": 1, \"rewarder\": {\"service\": \"s\", \"path\": \"score\"}}]} | path",
            "rewarder without attempts " +
                "| {\"name\": \"i\", \"models\": [{\"name\": \"m\"}], \"services\": [{\"name\": \"s\"}], " +
                "\"trainers\": [{\"name\": \"t\", \"key\": \"k\", \"model\": \"m\", " +
                "\"stalenessBoundVersions\": 1, " +
                "\"rewarder\": {\"service\": \"s\", \"maxAttempts\": 0}}]} | maxAttempts",
            "rewarder without time " +
                "| {\"name\": \"i\", \"models\": [{\"name\": \"m\"}], \"services\": [{\"name\": \"s\"}], " +
                "\"trainers\": [{\"name\": \"t\", \"key\": \"k\", \"model\": \"m\", " +
                "\"stalenessBoundVersions\": 1, " +
                "\"rewarder\": {\"service\": \"s\", \"timeoutMillis\": 0}}]} | timeoutMillis",
            "trainer without its model " +
                "| {\"name\": \"i\", \"trainers\": [{\"name\": \"t\", \"key\": \"k\", \"model\": \"m\", " +
                "\"stalenessBoundVersions\": 1}]} | model",
            "contradictory bounds " +
                "| {\"name\": \"i\", \"models\": [{\"name\": \"m\", \"allowedVersionsBehind\": 1}], " +
                "\"trainers\": [{\"name\": \"t\", \"key\": \"k\", \"model\": \"m\", " +
                "\"stalenessBoundVersions\": 2}]} | allowedVersionsBehind",
            "availability floor of 100 percent " +
                "| {\"name\": \"i\", \"models\": [{\"name\": \"m\", \"availabilityFloorPercent\": " +
                "100}]} | availabilityFloorPercent",
            "two callers with one key " +
                "| {\"name\": \"i\", \"callers\": [{\"name\": \"a\", \"key\": \"k\"}, {\"name\": " +
                "\"b\", \"key\": \"k\"}]} | key",
            "duplicate model | {\"name\": \"i\", \"models\": [{\"name\": \"m\"}, {\"name\": \"m\"}]} | models",
        ],
    )
    fun `invalid and contradictory intents are rejected`(
        case: String,
        text: String,
        field: String,
    ) {
        val intent = readDocument(Intent.serializer(), text, "i.json").value
        expectThat(validateIntent(intent, text, "i.json").map { it.field }).describedAs(case).contains(field)
    }
}
