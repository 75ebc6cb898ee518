.PHONY: run test
run:
	bash scripts/run-example.sh
test:
	bash .ci/run
