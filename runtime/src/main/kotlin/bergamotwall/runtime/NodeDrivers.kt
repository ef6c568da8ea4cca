package bergamotwall.runtime

import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.etcd.KeyValueStore
import bergamotwall.model.Settings
import bergamotwall.peers.PeerClient

/** What a node reaches the world by. */
public data class NodeDrivers(val clock: Clock, val store: KeyValueStore, val peers: PeerClient)

/** The real clock, key-value service and peers, as [settings] say. */
public fun systemDrivers(settings: Settings): NodeDrivers =
    NodeDrivers(SystemClock, KeyValueStore(settings.keyValueAddress), PeerClient())
