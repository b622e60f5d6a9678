package virtual

// trouble makes one fault, of a kind that chance draws, and its end.
func (w *world) trouble() {
	if w.healed {
		return
	}
	if w.log.stage != "" {
		w.count("met: a fault while " + string(w.log.stage))
	}
	n := w.nodes[w.luck.IntN(len(w.nodes))]
	switch w.luck.IntN(10) {
	case 0, 1:
		w.log.die()
	case 2:
		w.count("fault: a leader whose answers are lost")
		w.log.deaf = true
		w.after(w.between(100, 1500), func() { w.log.deaf = false })
	case 3:
		w.count("fault: a slow disk")
		w.log.disk = w.between(5, 300)
		w.after(w.between(100, 1500), func() { w.log.disk = 0 })
	case 4, 5:
		w.kill(n)
	case 6:
		w.stop(n)
	case 7, 8:
		w.cut(n)
	default:
		w.count("fault: a wall clock that jumps an hour")
		n.settle()
		n.offset += []float64{-3.6e6, 3.6e6}[w.luck.IntN(2)]
	}
}

// kill ends a process, and starts another in its place later, or at the next step of a change.
func (w *world) kill(n *node) {
	if !n.up {
		n.start()
		return
	}
	n.kill()
	w.after(w.between(1, 1500), n.start)
}

func (w *world) stop(n *node) {
	if !n.up || n.stopped {
		return
	}
	w.count("fault: a node stopped")
	n.stop()
	if w.luck.IntN(2) == 0 {
		w.after(w.between(50, 2*w.set.Lease), n.wake)
		return
	}
	w.count("fault: a node stopped for three numbers")
	holds, _, _ := n.holder.InForce()
	var look func()
	look = func() {
		if n.stopped && w.log.machine.Number() < holds+3 {
			w.after(50, look)
			return
		}
		n.wake()
	}
	look()
}

// cut takes a node off from the keepers, not from its clients.
func (w *world) cut(n *node) {
	kind := w.luck.IntN(3)
	w.count("fault: " + []string{"a node cut off", "a node that is not heard", "a node that hears nothing"}[kind])
	n.settle()
	n.out, n.in, n.sound = kind != 2, kind != 1, false
	w.after(w.between(50, 2*w.set.Lease), func() {
		n.settle()
		n.out, n.in, n.sound = false, false, false
	})
}
