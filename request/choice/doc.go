// Package choice picks the gate that a request is sent to.
//
// Gates are tried by nearness: the own node, the data centre, the region, and
// other regions, whose links are paid by volume, only when nothing nearer can
// serve. Within a tier the better of two random gates is taken (power of two
// choices), by what this node has outstanding there and how fast it has
// answered. A gate that refused or failed is avoided for a while; when all are
// avoided, all are used.
package choice
