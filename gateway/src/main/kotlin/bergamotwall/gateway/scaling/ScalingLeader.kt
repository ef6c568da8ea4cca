package bergamotwall.gateway.scaling

import bergamotwall.decisions.scaling.PoolOrder
import bergamotwall.decisions.scaling.ServiceScaling
import bergamotwall.model.FencingNumber
import bergamotwall.model.NodeId
import bergamotwall.model.ServiceDemand
import bergamotwall.model.ServiceName
import com.github.michaelbull.result.getOrElse
import org.tinylog.Logger

/**
 * One term of this process as the leader that orders targets, by [sender]. Not thread-safe.
 *
 * Guarantees: a number is stored before it is sent, only the newest number of a pool is sent, and nothing is sent
 * unless this process holds the lease.
 */
internal class ScalingLeader(
    private val dependencies: ScalingDependencies,
    private val settings: ScalingSettings,
    val sender: ScalingSender,
) {
    private val clock = dependencies.clock
    private val records = ScalingRecords(dependencies.store)
    private val demand = CollectedDemand(clock)
    private val services = HashMap<ServiceName, ServiceOrders>()

    /** The stored records; null until they are read. */
    private var stored: MutableMap<ScalingSubject, ScalingRecord>? = null

    /** The fencing token of the term. */
    val fence: FencingNumber get() = sender.fence

    /** Numbers of targets by subject, for metrics. */
    @Volatile
    var numbers: Map<ScalingSubject, ScalingNumbers> = emptyMap()
        private set

    /** Whether the key-value service has shown that another process leads. */
    var lost = false
        private set

    /** Takes the report [services] of [node]. */
    fun receive(
        node: NodeId,
        services: List<ServiceDemand>,
    ): Unit = demand.receive(node, services)

    /** Records what is needed and registered now. */
    fun observe() {
        demand.retain(registeredMembers())
        val targets = dependencies.gatewayState.targets.read()
        val scaled = dependencies.gatewayState.routes.read().services.filter { it.scaling != null }
        services.keys.retainAll(scaled.mapTo(HashSet()) { it.name })
        scaled.forEach { service ->
            val terms = service.scaling ?: return@forEach
            val known = services[service.name]
            val orders = known ?: ServiceOrders(service.name, settings, clock.monotonicMillis())
            services[service.name] = orders
            orders.observe(clock.monotonicMillis(), terms, targets, demand.load(service.name))
            if (known == null) restore(service.name, orders)
        }
        numbers = numbers.filterKeys { it.service in services }
    }

    /** Decides, stores and sends orders, as long as this process may act. */
    suspend fun act() {
        if (stored == null && !load()) return
        services.entries.toList().forEach { (service, orders) ->
            if (sender.mayAct() && !lost && orders.isDue(clock.monotonicMillis())) act(service, orders)
        }
    }

    private suspend fun act(
        service: ServiceName,
        orders: ServiceOrders,
    ) {
        val scaling = orders.scaling(clock.monotonicMillis(), demand.isComplete(registeredMembers()))
        val (decided, dropped) = orders.decide(scaling)
        dropped.forEach {
            Logger.info("event=target_order_dropped service={} pool={} cause=\"not needed\"", service.value, it)
        }
        publish(service, orders, scaling, decided)
        decided.forEach { order ->
            val isStored = sender.mayAct() && !lost && store(service, orders, order, scaling)
            if (isStored) sender.send(TargetOrder(service, order.pool, order.desired), orders.pool(order.pool))
        }
    }

    private suspend fun load(): Boolean {
        val read =
            records.list().getOrElse {
                Logger.warn("event=scaling_orders_not_read cause=\"{}\"", it.detail)
                return false
            }
        stored = read.toMutableMap()
        services.forEach { (service, orders) -> restore(service, orders) }
        Logger.info("event=scaling_term_begins fence={} stored={}", fence.value, read.size)
        return true
    }

    /** Applies the stored records to [orders] of [service]. */
    private fun restore(
        service: ServiceName,
        orders: ServiceOrders,
    ) {
        val fromMillis = clock.wallMillis() - UNSENT_MILLIS
        orders.pools().forEach { (pool, state) ->
            val record = stored?.get(ScalingSubject(service, pool.dataCentre))
            record?.of(pool)?.let { state.restore(it, mayBeUnsent = record.atMillis >= fromMillis) }
        }
    }

    /** Stores [order] unless it is the pending one; returns whether it may be sent. */
    private suspend fun store(
        service: ServiceName,
        orders: ServiceOrders,
        order: PoolOrder,
        scaling: ServiceScaling,
    ): Boolean {
        val state = orders.pool(order.pool)
        if (state.pending && state.ordered == order.desired) return true
        val subject = ScalingSubject(service, order.pool.dataCentre)
        val record = (stored?.get(subject) ?: ScalingRecord()).with(order.pool, order.desired, clock.wallMillis())
        val outcome = records.put(subject, record, fence)
        when (outcome) {
            RecordOutcome.STORED -> {
                stored?.put(subject, record)
                orders.stored(order.pool, order.desired, clock.monotonicMillis())
                val members = registeredMembers().size
                val reports = "reports ${demand.size} of $members, oldest ${demand.oldestMillis(service)} ms old"
                dependencies.record(service, orders, order, scaling, "$reports, fence ${fence.value}")
            }
            RecordOutcome.NOT_LEADING -> {
                lost = true
                Logger.warn("event=scaling_lease_lost fence={}", fence.value)
            }
            RecordOutcome.UNAVAILABLE -> {
                orders.notStored(clock.monotonicMillis())
                Logger.warn("event=target_order_not_stored service={} pool={}", service.value, order.pool)
            }
        }
        return outcome == RecordOutcome.STORED
    }

    private fun publish(
        service: ServiceName,
        orders: ServiceOrders,
        scaling: ServiceScaling,
        decided: List<PoolOrder>,
    ) {
        val needed = scaling.present + decided.associate { it.pool to it.desired }
        val current =
            orders.pools().entries.groupBy { it.key.dataCentre }.map { (dataCentre, pools) ->
                ScalingSubject(service, dataCentre) to
                    ScalingNumbers(
                        registered = pools.sumOf { it.value.registered },
                        ordered = pools.sumOf { it.value.ordered ?: it.value.registered },
                        needed = pools.sumOf { needed[it.key] ?: 0 },
                    )
            }
        numbers = numbers + current
    }

    private fun registeredMembers() = dependencies.gatewayState.members.read().members.keys

    private companion object {
        /** An order that is older has been sent, or its need is known again by now. */
        private const val UNSENT_MILLIS = 60_000L
    }
}
