package bergamotwall.runtime

import bergamotwall.drivers.KeyValueStore
import bergamotwall.drivers.etcd.KeyValueStore
import bergamotwall.model.Settings
import bergamotwall.peers.PeerClient

/** Connections of a node to the outside: clock, key-value service and peers. */
public data class NodeDrivers(val clock: Clock, val store: KeyValueStore, val peers: PeerClient)

/** Drivers for production: the system clock and network clients for the addresses in [settings]. */
public fun systemDrivers(settings: Settings): NodeDrivers =
    NodeDrivers(SystemClock, KeyValueStore(settings.keyValueAddress), PeerClient())
