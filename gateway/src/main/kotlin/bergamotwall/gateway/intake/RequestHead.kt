package bergamotwall.gateway.intake

import io.netty.buffer.ByteBuf
import io.netty.util.ByteProcessor

/**
 * What the head of a request tells about its length, read before the HTTP codec sees it. [contentLength] is null
 * without a body of known length, and [UNCLEAR] if the codec will refuse it. [upgrade] are the ranges of the lines that
 * ask for another protocol. [malformed]: the codec would take a line that begins with a blank for the first field, or
 * pass on the body without a coding that it has (RFC 9112, sections 2.2 and 6.1).
 */
internal class RequestHead(
    val lines: Int,
    val contentLength: Long?,
    val chunked: Boolean,
    val upgrade: List<IntRange>,
    val malformed: Boolean,
) {
    companion object {
        /** Neither the length nor the end of the body can be told. */
        const val UNCLEAR = -1L
        private const val MAX_LENGTH_DIGITS = 18

        /** Number of the line that follows the request line. */
        private const val FIRST_FIELD = 2

        /** Reads the head in the first [length] bytes that are readable in [bytes]. */
        fun read(
            bytes: ByteBuf,
            length: Int,
        ): RequestHead {
            var lines = 0
            var contentLength: Long? = null
            var chunked = false
            val upgrade = ArrayList<IntRange>()
            var malformed = false
            forEachLine(bytes, length) { start, end ->
                lines++
                when (NAMES.firstOrNull { startsWith(bytes, start, end, it) }) {
                    CONTENT_LENGTH -> contentLength = lengthOf(valueOf(bytes, start, end))
                    TRANSFER_ENCODING -> {
                        malformed = malformed || chunked || valueOf(bytes, start, end).lowercase() != CHUNKED
                        chunked = true
                    }
                    UPGRADE, HTTP2_SETTINGS -> upgrade += start until end
                    else -> malformed = malformed || lines == FIRST_FIELD && startsWithBlank(bytes, start)
                }
            }
            return RequestHead(lines, contentLength, chunked, upgrade, malformed)
        }

        private inline fun forEachLine(
            bytes: ByteBuf,
            length: Int,
            handle: (Int, Int) -> Unit,
        ) {
            var start = bytes.readerIndex()
            val end = start + length
            while (start < end) {
                val newline = bytes.forEachByte(start, end - start, ByteProcessor.FIND_LF)
                val next = if (newline < 0) end else newline + 1
                handle(start, next)
                start = next
            }
        }

        private fun startsWith(
            bytes: ByteBuf,
            start: Int,
            end: Int,
            name: String,
        ): Boolean {
            if (end - start <= name.length) return false
            val follows = bytes.getByte(start + name.length).toInt().toChar()
            return (follows == ':' || follows == ' ' || follows == '\t') &&
                name.indices.all { bytes.getByte(start + it).toInt().toChar().lowercaseChar() == name[it] }
        }

        private fun startsWithBlank(
            bytes: ByteBuf,
            start: Int,
        ): Boolean = bytes.getByte(start).toInt().toChar().let { it == ' ' || it == '\t' }

        private fun valueOf(
            bytes: ByteBuf,
            start: Int,
            end: Int,
        ): String = bytes.toString(start, end - start, Charsets.ISO_8859_1).substringAfter(':').trim()

        private fun lengthOf(value: String): Long =
            value.takeIf { it.length <= MAX_LENGTH_DIGITS && it.all { char -> char in '0'..'9' } }?.toLongOrNull()
                ?: UNCLEAR

        private const val CONTENT_LENGTH = "content-length"
        private const val TRANSFER_ENCODING = "transfer-encoding"
        private const val CHUNKED = "chunked"
        private const val UPGRADE = "upgrade"
        private const val HTTP2_SETTINGS = "http2-settings"
        private val NAMES = listOf(CONTENT_LENGTH, TRANSFER_ENCODING, UPGRADE, HTTP2_SETTINGS)
    }
}
