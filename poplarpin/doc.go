// Command poplarpin is the command line of operators and callers.
package main
