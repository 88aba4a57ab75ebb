// Package tbbackfill reserves capacity that will be free soon for tasks that fit nowhere now, and decides which smaller
// tasks may use that capacity until then.
package tbbackfill
