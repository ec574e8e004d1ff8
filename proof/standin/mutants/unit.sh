# Sourced by the scripts beside it that have one test of a package name a fault: it
# sets work, a folder that goes with the script, wanted and missed.
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
wanted=" $* " missed=0

# mutant NAME PACKAGE TEST FILE OLD NEW
mutant() {
	local name=$1 package=$2 test=$3 file=$4 src="$work/$1" out="$work/$1.txt"
	[ "$wanted" = "  " ] || [[ "$wanted" == *" $name "* ]] || return 0
	mkdir -p "$src" && git archive HEAD | tar x -C "$src"
	OLD=$5 NEW=$6 perl -0pi -e 's/\Q$ENV{OLD}\E/$ENV{NEW}/ or die "no such place\n"' "$src/$file" 2>"$out" || { echo "$name: does not apply to $file"; missed=1; return 0; }
	(cd "$src" && go vet "./$package") >"$out" 2>&1 || { echo "$name: does not build: $(tail -1 "$out")"; missed=1; return 0; }
	if (cd "$src" && go test "./$package" -run "$test" -count=1 -timeout 90s) >"$out" 2>&1; then
		echo "$name: NOT CAUGHT by $test"
		missed=1
	else
		echo "$name: $test: $(grep -m1 '_test.go:' "$out" | sed 's/^ *//' | cut -c1-150)"
	fi
}
