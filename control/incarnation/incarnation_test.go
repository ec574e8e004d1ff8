package incarnation

import "testing"

func TestCompare(t *testing.T) {
	for _, c := range []struct {
		name         string
		epoch, other uint64
		want         Order
	}{
		{"the same start", Number(3, 7), Number(3, 7), Same},
		{"a later start with a lower nonce", Number(4, 1), Number(3, 9), Later},
		{"an earlier start with a higher nonce", Number(3, 9), Number(4, 1), Earlier},
		{"two copies", Number(3, 7), Number(3, 8), Conflict},
		{"two copies, in reverse order", Number(3, 8), Number(3, 7), Conflict},
		{"two starts of a build without nonces", 5, 6, Earlier},
		{"a build with nonces after one without", Number(1, 0), 900, Later},
		{"the number stored in the folder, incremented", Number(4, MaxNonce) + 1, Number(4, 12), Later},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := Compare(c.epoch, c.other); got != c.want {
				t.Errorf("Compare returned %d, want %d", got, c.want)
			}
		})
	}
}
