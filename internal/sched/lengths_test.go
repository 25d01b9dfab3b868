package sched

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/DataDog/sketches-go/ddsketch"
	"pgregory.net/rapid"
)

// TestLengthBuckets guards against bucket edges that overlap, leave gaps or understate a length.
func TestLengthBuckets(t *testing.T) {
	for bucket := 1; bucket < lengthBuckets; bucket++ {
		if got := lengthBucket(bucketEdge(bucket)); got != bucket {
			t.Fatalf("edge %d of bucket %d is in bucket %d", bucketEdge(bucket), bucket, got)
		}
		if got := lengthBucket(bucketEdge(bucket-1) + 1); got != bucket {
			t.Fatalf("length %d after bucket %d is in bucket %d", bucketEdge(bucket-1)+1, bucket-1, got)
		}
	}
}

// TestConditionalQuantile guards against a prediction that ignores the tokens already emitted, and against an estimate
// further from the exact conditional quantile than the bucket width.
func TestConditionalQuantile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		samples := rapid.SliceOfN(rapid.IntRange(1, 40_000), 1, 300).Draw(t, "samples")
		q := rapid.Float64Range(0.05, 0.99).Draw(t, "quantile")
		emitted := rapid.IntRange(0, 40_000).Draw(t, "shown")
		var l lengthSketch
		var tail []int
		first := bucketEdge(max(lengthBucket(emitted)-1, 0))
		for _, sample := range samples {
			l.add(sample)
			if emitted == 0 || sample > first {
				tail = append(tail, sample)
			}
		}
		got := l.quantile(q, emitted)
		if got <= emitted {
			t.Fatalf("total length %d is not above the emitted %d", got, emitted)
		}
		if len(tail) == 0 {
			return
		}
		slices.Sort(tail)
		rank := 0
		for float32(rank+1) < float32(q)*float32(len(tail)) {
			rank++
		}
		exact := tail[rank]
		if got < exact || float64(got) > max(1.125*float64(exact), float64(emitted+1)) {
			t.Fatalf("quantile %.2f given %d: %d, exact %d", q, emitted, got, exact)
		}
	})
}

// TestForecast guards against a forecast below, or far above, the mean memory of requests that start together at the
// time of their joint peak, and against a forecast below what the request already holds.
func TestForecast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		samples := rapid.SliceOfN(rapid.IntRange(1, 4000), 1, 100).Draw(t, "samples")
		prompt := rapid.IntRange(0, 2000).Draw(t, "prompt")
		emitted := rapid.IntRange(0, 4000).Draw(t, "shown")
		var l lengthSketch
		for _, sample := range samples {
			l.add(sample)
		}
		got, variance := l.forecast(prompt, emitted, 4000)
		survivors := samples[:0]
		for _, sample := range samples {
			if sample > emitted {
				survivors = append(survivors, sample)
			}
		}
		if got < prompt+emitted || variance < 0 {
			t.Fatalf("%d tokens, variance %.0f, less than the %d that the request holds", got, variance, prompt+emitted)
		}
		if emitted > 0 {
			return // The bucket of the emitted length also holds shorter ones, so only the check above is exact.
		}
		most := 0
		for _, length := range survivors {
			left := 0
			for _, other := range survivors {
				if other >= length {
					left++
				}
			}
			most = max(most, (prompt+length)*left/len(survivors))
		}
		if got < most || float64(got) > 1.13*float64(most)+2 {
			t.Fatalf("forecast %d, the samples hold %d at most", got, most)
		}
	})
}

// BenchmarkConditionalQuantile compares the fixed buckets with a DDSketch of the same accuracy.
func BenchmarkConditionalQuantile(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	var l lengthSketch
	sketch, err := ddsketch.LogCollapsingLowestDenseDDSketch(0.0625, 256)
	if err != nil {
		b.Fatal(err)
	}
	for range 2000 {
		tokens := int(random.ExpFloat64() * 600)
		l.add(tokens)
		if err := sketch.Add(float64(tokens)); err != nil {
			b.Fatal(err)
		}
	}
	b.Run("buckets", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			l.quantile(0.8, 300)
		}
	})
	b.Run("ddsketch", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			below := 0.0
			sketch.ForEach(func(value, count float64) bool {
				if value <= 300 {
					below += count
				}
				return false
			})
			all := sketch.GetCount()
			if _, err := sketch.GetValueAtQuantile((below + 0.8*(all-below)) / all); err != nil {
				b.Fatal(err)
			}
		}
	})
}
