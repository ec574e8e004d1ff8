# Sourced by scripts in this folder that check that a test of a package detects a fault.
# Sets work, a folder that is removed when the script ends; places, if the script only
# checks the texts that the faults replace and the names of the tests; wanted, the selected
# faults; and missed, the exit status.
places=""
if [ "${1:-}" = -places ]; then
	places=yes
	shift
else
	work=$(mktemp -d)
	trap 'rm -rf "$work"' EXIT
fi
wanted=" $* " missed=0

# present NAME PACKAGE TEST FILE OLD: checks that FILE contains OLD and PACKAGE has TEST.
present() {
	OLD=$5 perl -0ne '$n = () = /\Q$ENV{OLD}\E/g; exit($n ? 0 : 1)' "$4" || { echo "$1: $4 does not contain: $5"; missed=1; }
	grep -qE "^func ($3)" "$2"/*_test.go || { echo "$1: no test $3 in $2"; missed=1; }
}

# mutant NAME PACKAGE TEST FILE OLD NEW: expects TEST to fail with the fault.
mutant() {
	local name=$1 package=$2 test=$3 file=$4 src="${work:-}/$1" out="${work:-}/$1.txt"
	[ "$wanted" = "  " ] || [[ "$wanted" == *" $name "* ]] || return 0
	if [ -n "$places" ]; then
		present "$name" "$package" "$test" "$file" "$5"
		return 0
	fi
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
