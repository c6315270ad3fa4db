// Package wire implements the protocols of callers, targets and the platform's
// services: the OpenAI API, the engines' own interface, DynamoDB, S3 and the VM list.
//
// Adapters convert messages to values of the decision packages and back. They
// validate and limit everything that they read and make no routing decisions.
package wire
