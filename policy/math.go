package policy

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

// indicator returns 1 if the condition holds, otherwise 0.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

func greatestCommonDivisor(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

func hasIndex[T any](list []T, i int) bool { return i >= 0 && i < len(list) }
