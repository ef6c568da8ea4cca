package bergamotwall.gateway.batches

/** The same in a large fleet, whose owners read the ownership records less often. */
internal class FormerOwnerInLargeFleetTest : FormerOwnerTest() {
    override val largeFleet: Boolean get() = true
}
