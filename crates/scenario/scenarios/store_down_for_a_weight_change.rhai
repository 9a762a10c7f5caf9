// The store, and with it the weight store, is down for the whole of a weight change.
world(#{ app: ["d1", "d2"], training: ["d1", "d1", "d2", "d2"], capacity: 4 });
trainer("t1", 6);
app("shop", 2);
wait_samples("t1", 32);
print("the store goes down in a step");
store_down();
publish(2);
print("weights 2 are published");
wait(8000);
check(apps_go_on(3000), "apps get answers while the store is down");
store_up();
print("the store is back");
check(engines_load(2, 15000), "all engines have weights 2 within 15 s");
known(2);
check(finish(6), "each sample came exactly once and fresh");
check(stop_apps(), "no app call failed");
check(keys_seen() == 0, "no target saw a key");
