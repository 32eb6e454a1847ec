#!/bin/sh
# Mutation test: for every line of guards.txt, removes one guard (a check in the
# source) in a scratch copy of the tree and expects the named test to fail.
# An argument limits the run to the lines whose test, package or files contain it.
set -u
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
bad=0
while IFS='|' read -r test package files expression; do
	case "$test" in ''|'#'*) continue ;; esac
	case "$test$package$files" in *"${1:-}"*) ;; *) continue ;; esac
	rm -rf "$scratch/tree"
	mkdir "$scratch/tree"
	git ls-files -z --cached --others --exclude-standard | xargs -0 cp --parents -t "$scratch/tree"
	(cd "$scratch/tree" && sed -i "$expression" $files)
	missing=
	for file in $files; do
		if cmp -s "$file" "$scratch/tree/$file"; then
			missing=$file
		fi
	done
	if [ -n "$missing" ]; then
		echo "NO GUARD FOUND  $test  $missing"
		bad=1
		continue
	fi
	if (cd "$scratch/tree" && go test -count=1 -timeout 5m -run "$test" "$package") > "$scratch/out" 2>&1; then
		echo "STILL PASSES    $test  $files"
		bad=1
	elif grep -q 'build failed' "$scratch/out"; then
		echo "DOES NOT BUILD  $test  $files"
		bad=1
	else
		echo "fails without   $test  $files"
		grep -E '^ +[a-z_]+_test\.go:[0-9]+:' "$scratch/out" | grep -v 'in force on\|answered; others\|by version' | head -n 2
	fi
done < proofs/guards.txt
exit $bad
