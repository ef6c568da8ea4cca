#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/bergamotwall.jar ] && [ -f review/out/EndedBatch.class ] || exit 2
exec java -Xmx512m -cp review/out EndedBatch review/2
