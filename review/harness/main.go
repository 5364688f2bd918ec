//go:build review

// Command harness runs one case of the review: a small deployment of cuminlift-gateway processes with stand-ins of the store, the
// servers and the consumers on loopback addresses.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases run a world and return the lines that show how the rule was broken, none if it held.
var cases = map[string]func(w *world, trouble bool) (broken []string, err error){}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("gateway", "target/cuminlift-gateway", "program of the gateway")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	logs := flag.String("logs", "", "folder to which the gateways' logs are copied, for inspection")
	flag.Parse()
	os.Exit(run(*name, *program, *record, *logs))
}

func run(name, program, record, logs string) int {
	play, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	out, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer out.Close()
	program, err = filepath.Abs(program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	w, err := newWorld(program, out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	w.closeOnSignal()
	fmt.Fprintf(out, "case %s, disruption: %v\n", name, trouble)
	broken, err := play(w, trouble)
	if logs != "" {
		for _, g := range w.gateways {
			text, _ := os.ReadFile(filepath.Join(w.folder, g.name+".log"))
			os.WriteFile(filepath.Join(logs, g.name+".log"), text, 0o644)
		}
	}
	w.record.mutex.Lock()
	defer w.record.mutex.Unlock()
	if err != nil {
		fmt.Fprintln(out, "the case couldn't run:", err)
		fmt.Println("the case couldn't run:", err)
		return exitFailed
	}
	for i, line := range broken {
		fmt.Fprintln(out, "BROKEN", line)
		if i < 8 {
			fmt.Println("BROKEN", line)
		}
	}
	if len(broken) > 0 {
		fmt.Printf("rule broken: %d findings\n", len(broken))
		return exitBroken
	}
	fmt.Fprintln(out, "rule held")
	fmt.Println("rule held")
	return exitHeld
}
