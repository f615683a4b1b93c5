package results

import "testing"

func TestSummarizeEvenAndOddCounts(t *testing.T) {
	if s := Summarize([]float64{4, 1, 3, 2}); s != (Summary{Min: 1, Median: 2.5, Max: 4}) {
		t.Errorf("even count: got %+v, want 1, 2.5, 4", s)
	}
	if s := Summarize([]float64{3, 1, 2}); s != (Summary{Min: 1, Median: 2, Max: 3}) {
		t.Errorf("odd count: got %+v, want 1, 2, 3", s)
	}
}
