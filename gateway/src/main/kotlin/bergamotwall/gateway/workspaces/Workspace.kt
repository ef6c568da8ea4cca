package bergamotwall.gateway.workspaces

import bergamotwall.model.WorkspaceName

/** A workspace with the digests of its [keys]. Requests of a lower [priority] go first. */
public data class Workspace(val name: WorkspaceName, val keys: Set<KeyDigest>, val priority: Int)
