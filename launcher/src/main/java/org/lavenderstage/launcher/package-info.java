/** Entry point of the executable, which selects one of the programs. */
package org.lavenderstage.launcher;
