# Sourced by scripts in this folder: builds copies of the committed sources with a planted
# fault. Sets work, a folder that is removed when the script ends; places, if the script
# only checks the texts that the faults replace; and missed, the exit status.
places=""
if [ "${1:-}" = -places ]; then
	places=yes
	shift
else
	work=$(mktemp -d)
	trap 'rm -rf "$work"' EXIT
	go build -o "$work/bin/" ./cmd/fleetlab || exit 1
fi
names=" $* " missed=0

# wanted NAME: reports whether the fault is selected.
wanted() { [ "$names" = "  " ] || [[ "$names" == *" $1 "* ]]; }

# places NAME FILE OLD NEW [FILE OLD NEW ...]: checks that each OLD occurs exactly once.
places() {
	local name=$1 times
	shift
	while [ $# -gt 0 ]; do
		times=$(OLD=$2 perl -0ne '$n = () = /\Q$ENV{OLD}\E/g; print $n' "$1")
		[ "$times" = 1 ] || { echo "$name: $1 contains this text ${times:-0} times instead of once: $2"; missed=1; }
		shift 3
	done
}

# plant NAME FILE OLD NEW [FILE OLD NEW ...]: builds the daemon with the fault.
plant() {
	local name=$1 src="$work/$1/src" out="$work/$1/out.txt"
	shift
	mkdir -p "$src" && git archive HEAD cmd control platform traffic wire proof go.mod go.sum | tar x -C "$src"
	while [ $# -gt 0 ]; do
		OLD=$2 NEW=$3 perl -0pi -e 's/\Q$ENV{OLD}\E/$ENV{NEW}/ or die "no such place\n"' "$src/$1" 2>"$out" || { echo "$name: does not apply to $1"; missed=1; return 1; }
		shift 3
	done
	(cd "$src" && go build -o "$work/$name/bin/" ./cmd/mulleinmast) >"$out" 2>&1 || { echo "$name: does not build: $(tail -1 "$out")"; missed=1; return 1; }
	cp "$work/bin/fleetlab" "$work/$name/bin/"
}
