package peer

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/pathhead/pathhead/fleet"
)

// benchRoutes is the number of routes of a large configuration.
const benchRoutes = 4200

// routesDocument returns a configuration with benchRoutes routes of about 200 bytes each.
func routesDocument() fleet.Document {
	rng := rand.New(rand.NewPCG(3, 3))
	var b strings.Builder
	for range benchRoutes {
		fmt.Fprintf(&b, `{"name":"r-%07x","host":"h%04d.example","path":"/%05x%03x/","kind":"idempotent","timeout":"800ms","aim":"150ms",`+
			`"priority":2,"pool":"registry","attempts":2,"public":false,"streams":false,"resumable":false},`,
			rng.Uint32()>>4, rng.IntN(40), rng.Uint32()>>12, rng.Uint32()>>20)
	}
	return fleet.Document{Revision: 1, Text: b.String()}
}

func BenchmarkPackDocument(b *testing.B) {
	d := routesDocument()
	b.ReportAllocs()
	for b.Loop() {
		data, err := packDocument(d)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "packed-bytes")
		b.ReportMetric(float64(len(d.Text)), "text-bytes")
	}
}

func BenchmarkUnpackDocument(b *testing.B) {
	data, err := packDocument(routesDocument())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := unpackDocument(data); err != nil {
			b.Fatal(err)
		}
	}
}
