package route

// Verdict states whether a request may have run at a target.
type Verdict int

// The verdicts. NotRun requires that no byte of the request reached a target, or that each target
// it reached is trusted by the configuration and refused it before running it.
const (
	NotRun Verdict = iota
	MayHaveRun
	Ran
)

// String returns the verdict as reported to callers.
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
