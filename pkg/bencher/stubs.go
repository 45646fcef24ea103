package bencher

func runLots(*report)   {}
func runPrefix(*report) {}
func runLoss(*report)   {}
func runHerd(*report)   {}
func runCost(*report)   {}
