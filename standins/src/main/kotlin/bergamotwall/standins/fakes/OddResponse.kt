package bergamotwall.standins.fakes

/**
 * A response of HTTP/1.1 that is malformed, or sound but rare. It differs from an ordinary one in its [statusLine], in
 * the [line] that it has among its fields or, if [isTrailing], its trailers, in the field [framing] that frames its
 * body, or in the [chunkEnd] of its only chunk. [interim] is a response before it.
 */
public data class OddResponse(
    private val name: String,
    public val statusLine: String = "HTTP/1.1 200 OK",
    public val line: String? = null,
    public val isTrailing: Boolean = false,
    private val framing: (String) -> String = { "Content-Length: ${it.length}" },
    private val interim: String = "",
    private val chunkEnd: String = CRLF,
) {
    /** Its status as in the status line. */
    public val status: String get() = statusLine.split(' ')[1]

    /** Its bytes, one for each character, with [fields] and [body]; each character of [body] is a byte. */
    public fun bytes(
        fields: List<String>,
        body: String,
    ): String {
        val chunked = isTrailing || chunkEnd != CRLF
        val odd = if (isTrailing) emptyList() else listOfNotNull(line)
        val length = if (chunked) CHUNKED else framing(body)
        val head = (listOf(statusLine) + fields + odd + listOf(length)).joinToString("") { it + CRLF } + CRLF
        val trailers = if (isTrailing && line != null) line + CRLF else ""
        val coded = chunked || length.contains("chunked", ignoreCase = true)
        return interim + head + if (coded) chunksOf(body, chunkEnd) + trailers + CRLF else body
    }

    override fun toString(): String = name

    public companion object {
        private const val CRLF = "\r\n"
        private const val CHUNKED = "Transfer-Encoding: chunked"
        private const val HEX = 16

        /** Parts of names. */
        private val REPRESENTATIVE =
            listOf("1.1 000", "1.1 0200", "1.1 600", "X-O dd", "X-Odd :", "field ' X", "Content Length", "gzip, ")

        private fun chunksOf(
            body: String,
            end: String,
        ): String = "${body.length.toString(HEX)}$CRLF$body${end}0$CRLF"

        private fun shown(text: String): String =
            text.map { if (it in '!'..'~' || it == ' ') "$it" else "<${it.code}>" }.joinToString("")

        private fun statusLines(): List<OddResponse> =
            listOf("000", "001", "099", "0", "00", "2", "20", "1000", "2000", "0200", "+200", "-200", "600", "999")
                .map { "HTTP/1.1 $it Status" }
                .plus(listOf("HTTP/2.0 200 OK", "HTTP/1 200 OK", "http/1.1 200 OK", "ICY 200 OK", "HTTP/1.1 2x0 OK"))
                .plus(listOf(" HTTP/1.1 200 OK", "\u0000HTTP/1.1 200 OK", "\u0001\nHTTP/1.1 200 OK"))
                .plus(listOf("HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200 O\u0000K", "HTTP/1.1 200\u0001OK"))
                .map { OddResponse("status line '${shown(it)}'", statusLine = it) }

        /** Lines that are no fields of a head. */
        public val malformedFields: List<String> =
            listOf(0, 1, 8, 11, 12, 13, 27, 31, 127).map { "X-O${it.toChar()}dd: 1" } +
                listOf("X-O dd: 1", "X-O\tdd: 1", "X-Odd : 1", "X-Odd\t: 1", " X-Odd: 1", "\tX-Odd: 1", ": 1") +
                listOf("\"X-Odd\": 1", "X/Odd: 1", "X-\u00d6dd: 1", "X-Odd", " ", "X-Odd: \u0000", "X-Odd: 1\u007f")

        /** Fields that are sound but rare. */
        public val rareFields: List<String> =
            listOf("a!#$%&'*+-.^_`|~09Z: v", "X-Odd:", "X-Odd:1", "X-Odd: \u00e9\u00ff", "X-Odd: a\tb  c", "1: :\"(")

        private fun framings(): List<OddResponse> =
            listOf<(String) -> String>(
                { "Content Length: ${it.length}" },
                { "Content-Length : ${it.length}" },
                { "Content-Length: +${it.length}" },
                { "Content-Length: -${it.length}" },
                { "Content-Length: ${it.length}\r\nContent-Length: 1" },
                { "Content-Length: ${it.length}\r\n$CHUNKED" },
                { "Transfer-Encoding : chunked" },
                { "Transfer Encoding: chunked" },
                { "Transfer-Encoding: gzip, chunked" },
                { "Transfer-Encoding: gzip\r\n$CHUNKED" },
                { "Transfer-Encoding: chunked, chunked" },
                { "Transfer-Encoding: gzip" },
            ).map { OddResponse("framing '${shown(it("body"))}'", framing = it) }

        /** Malformed responses. */
        public val malformed: List<OddResponse> =
            statusLines() +
                malformedFields.map { OddResponse("field '${shown(it)}'", line = it) } +
                malformedFields.map { OddResponse("trailer '${shown(it)}'", line = it, isTrailing = true) } +
                OddResponse("folded trailer", line = "X-Odd: 1\r\n 2", isTrailing = true) +
                framings() +
                listOf("000 Hints", "103 Hints\r\nX-O dd: 1", "103 Hints\r\n X-Odd: 1").map {
                    OddResponse("interim '${shown(it)}'", interim = "HTTP/1.1 $it$CRLF$CRLF")
                } +
                listOf("more$CRLF", "$CRLF ").map { OddResponse("chunk end '${shown(it)}'", chunkEnd = it) }

        /** A few of [malformed], one or two of each kind. */
        public val someMalformed: List<OddResponse> =
            malformed.filter { response -> REPRESENTATIVE.any { it in response.toString() } }

        /** Responses that are sound but rare. */
        public val rare: List<OddResponse> =
            listOf("HTTP/1.1 299 Other", "HTTP/1.1 599 ", "HTTP/1.1 599", "HTTP/1.1 418 \u00e9\t(x)", "HTTP/1.0 200 OK")
                .map { OddResponse("status line '${shown(it)}'", statusLine = it) } +
                rareFields.map { OddResponse("field '${shown(it)}'", line = it) } +
                OddResponse("trailer", line = "X-Odd: 1", isTrailing = true) +
                OddResponse("coding in capitals", framing = { "Transfer-Encoding: CHUNKED" }) +
                OddResponse("interim", interim = "HTTP/1.1 103 Early\r\nX-Odd: 1\r\n\r\n") +
                OddResponse("empty line first", interim = CRLF)
    }
}
