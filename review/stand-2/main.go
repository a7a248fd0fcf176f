// Stand plays the cases of the second review: it starts the project's own process with stand-ins of the store, the servers and the clients.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE FOLDER")
		os.Exit(2)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	play(os.Args[2])
}
