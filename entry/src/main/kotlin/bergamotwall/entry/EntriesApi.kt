package bergamotwall.entry

import bergamotwall.decisions.membership.entryAddresses
import bergamotwall.model.DataCentre
import bergamotwall.model.NodeId
import bergamotwall.runtime.Node
import bergamotwall.runtime.jsonResponse
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.QueryParams
import kotlinx.serialization.Serializable

/** An entry and the HTTP address at which it serves callers. */
@Serializable
internal data class EntryAddress(val id: NodeId, val address: String, val dataCentre: DataCentre)

/** The entries that a caller may use, best first; valid for [ttlMillis]. */
@Serializable
internal data class EntryList(val entries: List<EntryAddress>, val ttlMillis: Long)

/**
 * Serves `GET /v1/entries`, which lists the entries that a caller should use. The query parameters `dataCentre` and
 * `affinity` determine their order.
 */
internal class EntriesApi(private val node: Node) {
    fun serve(query: QueryParams): HttpResponse {
        val dataCentre = query.get("dataCentre")?.let { DataCentre(it) }
        val members = entryAddresses(node.fleetState.members.read(), dataCentre, query.get("affinity").orEmpty())
        val entries = members.map { EntryAddress(it.id, it.httpAddress, it.dataCentre) }
        return jsonResponse(EntryList.serializer(), EntryList(entries, node.settings.addressTtlMillis))
    }
}
