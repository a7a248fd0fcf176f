// Command standin runs small stand-ins for the platform and for targets, with faults that are switched on over HTTP.
package main
