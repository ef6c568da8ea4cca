package bergamotwall.decisions.batches

/** Priority of an item: that of its batch's [workspace] is compared before that of the [route]; 0 is the highest. */
public data class ItemPriority(val workspace: Int, val route: Int) : Comparable<ItemPriority> {
    override fun compareTo(other: ItemPriority): Int = compareValuesBy(this, other, { it.workspace }, { it.route })

    public companion object {
        /** Priority of all items where there are no workspaces. */
        public val NONE: ItemPriority = ItemPriority(0, 0)
    }
}
