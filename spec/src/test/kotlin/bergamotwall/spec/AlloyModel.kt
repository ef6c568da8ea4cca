package bergamotwall.spec

import edu.mit.csail.sdg.alloy4.A4Reporter
import edu.mit.csail.sdg.ast.Command
import edu.mit.csail.sdg.ast.Module
import edu.mit.csail.sdg.parser.CompUtil
import edu.mit.csail.sdg.translator.A4Options
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod
import kodkod.engine.satlab.SATFactory

/** An Alloy model of a part of the protocol, complete or without one of its guards. */
internal class AlloyModel(private val text: String) {
    private val module: Module = CompUtil.parseEverything_fromString(A4Reporter.NOP, text)

    /** Whether the command named [command] finds an instance, which for a `check` is a counterexample. */
    fun satisfiable(command: String): Boolean = execute(find(command))

    /** The model without the line that is marked `guard: NAME`, where NAME is [guard]. */
    fun without(guard: String): AlloyModel {
        val lines = text.lines()
        val remaining = lines.filterNot { it.trimEnd().endsWith("guard: $guard") }
        check(remaining.size == lines.size - 1) { "guard $guard marks ${lines.size - remaining.size} lines, not 1" }
        return AlloyModel(remaining.joinToString("\n"))
    }

    private fun find(command: String): Command = module.allCommands.first { it.label == command }

    private fun execute(command: Command): Boolean {
        val options = A4Options().apply { solver = SATFactory.find("sat4j").get() }
        return TranslateAlloyToKodkod
            .execute_command(A4Reporter.NOP, module.allReachableSigs, command, options)
            .satisfiable()
    }

    companion object {
        /** The model in the resource `spec/[name].als`. */
        fun load(name: String): AlloyModel {
            val stream = checkNotNull(AlloyModel::class.java.getResourceAsStream("/spec/$name.als"))
            return AlloyModel(stream.reader().readText())
        }
    }
}
