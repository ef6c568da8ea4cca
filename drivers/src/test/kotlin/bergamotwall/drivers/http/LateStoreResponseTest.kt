package bergamotwall.drivers.http

import bergamotwall.drivers.etcd.KeyValueStore
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import java.util.Base64

/** Calls to a store over HTTP/1.1, whose responses name no call. */
internal class LateStoreResponseTest {
    @Test
    fun `a late response to a call that has timed out is not that to the next one`(): Unit =
        runBlocking {
            ScriptedTarget { number, numberOnConnection ->
                val late = if (numberOnConnection > 0) responseOf("late") else ""
                if (number == 0) "" else late + responseOf("own")
            }.use { target ->
                val store = KeyValueStore(target.address, TIMEOUT_MILLIS)
                expectThat(store.get("first").getError()).isNotNull()
                expectThat(store.get("second").get()?.value).isEqualTo("own")
            }
        }

    private companion object {
        private const val TIMEOUT_MILLIS = 1_000L

        private fun responseOf(value: String): String {
            val body = """{"kvs":[{"key":"","value":"${Base64.getEncoder().encodeToString(value.toByteArray())}"}]}"""
            return "HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n$body"
        }
    }
}
