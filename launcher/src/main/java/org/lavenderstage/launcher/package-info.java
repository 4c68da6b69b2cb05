/** The dispatcher of the programs. */
package org.lavenderstage.launcher;
