// Package event records the events of pathhead's processes.
//
// Every event has a number from the catalogue, a stamp of a hybrid logical
// clock and the identifiers of the request, attempt, target and revision that it
// concerns. Events are stored in a bounded ring buffer in the process and written
// to its log by log/slog; [Merge] combines the events of many processes in causal
// order. Events never contain prompt text or keys.
package event
