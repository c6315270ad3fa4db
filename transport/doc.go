// Package transport speaks HTTP/1.1 to targets over connections that it keeps.
//
// Unlike net/http's client it never sends a request twice by itself, tells
// whether any byte of one left, and tells a request's answer from surplus ones.
package transport
