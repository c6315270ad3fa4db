// Package transport is an HTTP/1.1 client for targets with a pool of idle connections.
//
// Unlike net/http's client it never retries a request by itself, reports
// whether any byte of a request was sent, and skips answers that belong to
// other requests.
package transport
