// Command dandelionspoke runs a node and the tools around it.
package main

func main() {}
