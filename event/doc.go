// Package event records what pathhead's processes did.
//
// Every event has a number from one catalogue, a stamp of a hybrid logical
// clock and the identifiers of the request, attempt, target and revision it
// concerns. Events go to a bounded ring in the process and, by log/slog, to its
// log; [Merge] puts the rings of many processes into one causal time line.
// Events never carry prompt text or keys.
package event
