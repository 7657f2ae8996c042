package state

import "math"

// saturatingAdd returns the sum of two numbers that are not negative, at most math.MaxInt64.
func saturatingAdd(a, b int64) int64 {
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}

// saturatingMultiply returns the product of two numbers that are not negative, at most math.MaxInt64.
func saturatingMultiply(a, b int64) int64 {
	if b != 0 && a > math.MaxInt64/b {
		return math.MaxInt64
	}
	return a * b
}
