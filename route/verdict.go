package route

// Verdict says whether a request may have run at a target.
type Verdict int

// The verdicts. NotRun is given only if no byte of the request reached a target,
// or each target it reached is trusted by the configuration and refused before running.
const (
	NotRun Verdict = iota
	MayHaveRun
	Ran
)

// String returns the verdict as callers see it.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case MayHaveRun:
		return "may-have-run"
	case Ran:
		return "ran"
	}
	panic("route: unknown verdict")
}
