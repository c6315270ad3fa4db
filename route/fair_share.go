package route

import (
	"cmp"
	"math"
	"slices"
)

// shareDemand is what an organisation asks of a pool at one priority, in cost per second.
type shareDemand struct {
	org      string
	priority int
	weight   float64
	asked    float64
}

// minClassShare is the least part of its proportional share of the capacity that each priority
// receives, so that the less urgent are never starved. The operators' bound is a quarter.
const minClassShare = 0.3

// fairShares divides a capacity, in cost per second, between demands and returns the admitted rate
// of each. A more urgent priority is served before a less urgent one, except for minClassShare.
// Within a priority the capacity is divided between organisations by weighted max-min fairness.
func fairShares(capacity float64, demands []shareDemand) []float64 {
	admitted := make([]float64, len(demands))
	total := 0.0
	for _, d := range demands {
		total += d.asked
	}
	if total <= capacity {
		for i, d := range demands {
			admitted[i] = d.asked
		}
		return admitted
	}
	proportional := max(0, capacity) / total
	spare := max(0, capacity) * (1 - minClassShare)
	for _, class := range classesOf(demands) {
		asked := 0.0
		for _, i := range class {
			asked += demands[i].asked
		}
		floor := minClassShare * proportional * asked
		rate := min(asked, floor+spare)
		spare -= rate - floor
		fillClass(rate, class, demands, admitted)
	}
	return admitted
}

// classesOf returns the indexes of the demands of each priority, the most urgent first.
func classesOf(demands []shareDemand) [][]int {
	byPriority := make(map[int][]int)
	for i, d := range demands {
		byPriority[d.priority] = append(byPriority[d.priority], i)
	}
	out := make([][]int, 0, len(byPriority))
	for _, class := range byPriority {
		out = append(out, class)
	}
	slices.SortFunc(out, func(a, b []int) int {
		return cmp.Compare(demands[b[0]].priority, demands[a[0]].priority)
	})
	return out
}

// fillClass divides a rate between the demands of one priority by water filling: those that ask
// for less than their share by weight are served in full, and the rest is divided between the
// others.
func fillClass(rate float64, class []int, demands []shareDemand, admitted []float64) {
	perWeight := func(i int) float64 { return demands[i].asked / shareWeight(demands[i]) }
	slices.SortFunc(class, func(a, b int) int { return cmp.Compare(perWeight(a), perWeight(b)) })
	weights := 0.0
	for _, i := range class {
		weights += shareWeight(demands[i])
	}
	for _, i := range class {
		w := shareWeight(demands[i])
		admitted[i] = max(0, math.Min(demands[i].asked, rate*w/weights))
		rate -= admitted[i]
		weights -= w
	}
}

// shareWeight returns the weight of a demand; one without a weight counts as one.
func shareWeight(d shareDemand) float64 {
	if d.weight <= 0 {
		return 1
	}
	return d.weight
}
