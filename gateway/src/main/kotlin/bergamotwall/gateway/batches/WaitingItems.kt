package bergamotwall.gateway.batches

import bergamotwall.gateway.routes.ServiceShare

/** [count] items of a batch whose text is not complete, for the services [shares]; due at [dueAtMillis] if not null. */
internal class WaitingItems(val shares: List<ServiceShare>, val count: Int, val dueAtMillis: Long?)
