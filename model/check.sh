#!/bin/sh
echo "model: not written yet"
