// Package operator is the library with which operators write their
// configuration in Go. A program builds a Publication from services and routes
// and prints it; the output is what `cuminwheel publish` takes.
package operator
