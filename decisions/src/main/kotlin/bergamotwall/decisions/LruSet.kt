package bergamotwall.decisions

private const val LOAD_FACTOR = 0.75f
private const val INITIAL_CAPACITY = 16

/** Set that evicts the element that was added least recently when it exceeds [capacity]. */
internal fun <T> lruSet(capacity: Int): MutableSet<T> = java.util.Collections.newSetFromMap(lruMap(capacity))

/** Map that evicts its least recently used entry when it exceeds [capacity]. */
internal fun <K, V> lruMap(capacity: Int): MutableMap<K, V> =
    object : LinkedHashMap<K, V>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>): Boolean = size > capacity
    }
