// A node is killed while the store is slow and loses the response of every third write.
world(#{ app: ["d1", "d2"], training: ["d1", "d1", "d2", "d2"], capacity: 4 });
store_slow(100);
store_lossy(3);
trainer("t1", 3);
trainer("t2", 3);
wait_samples("t1", 16);
kill_node(0);
print("n0 is killed");
wait_samples("t1", 80);
kill_node(1);
print("n1 is killed");
add_node("d2");
print("a node is added");
check(finish(3), "each sample came exactly once and fresh");
check(keys_seen() == 0, "no target saw a key");
