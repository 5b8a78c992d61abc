package main

import (
	"fmt"
	"net"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"cuminwheel": func() { os.Exit(run(os.Args)) },
	})
}

// scriptPorts is the number of free ports that a script gets, as $P0 and up.
const scriptPorts = 10

// Runs the scripts in testdata/script, which execute the command in a process of its
// own.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(e *testscript.Env) error {
			for i := range scriptPorts {
				port, err := freePort()
				if err != nil {
					return err
				}
				e.Setenv(fmt.Sprintf("P%d", i), port)
			}
			return nil
		},
	})
}

func freePort() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	_, port, err := net.SplitHostPort(l.Addr().String())
	return port, err
}
