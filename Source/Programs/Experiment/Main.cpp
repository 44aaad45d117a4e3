// SPDX-License-Identifier: Apache-2.0
int main() { return 0; }
